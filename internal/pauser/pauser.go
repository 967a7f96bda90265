// Package pauser provides waits that end with a context.
//
// # Usage
//
//	if err := pauser.Sleep(ctx, time.Second); err != nil {
//		return err // ctx ended first
//	}
package pauser

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	return WaitChange(ctx, nil, d)
}

// WaitChange waits for changed or for d, whichever comes first. It returns the
// error of ctx if ctx ends before both.
func WaitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
