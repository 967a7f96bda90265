package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	defaultAnnounceInterval = 500 * time.Millisecond
	announceTimeout         = 2 * time.Second
)

func (u *Upstream) httpClient() *http.Client {
	if u.Client != nil {
		return u.Client
	}
	return http.DefaultClient
}

// announce sends announcements until ctx is done. Each goes to the address that
// accepted the previous one; if that fails, the other addresses are tried in turn.
func (u *Upstream) announce(ctx context.Context, sqlAddress, platformAddress string) {
	interval := u.AnnounceInterval
	if interval <= 0 {
		interval = defaultAnnounceInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if !u.isolated.Load() {
			u.announceOnce(ctx, sqlAddress, platformAddress)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) announceOnce(ctx context.Context, sqlAddress, platformAddress string) {
	body, err := json.Marshal(u.announcement(sqlAddress, platformAddress))
	if err != nil {
		return
	}
	n := len(u.AnnounceAddresses)
	for range n {
		address := u.AnnounceAddresses[u.announceIndex%n]
		if u.post(ctx, address+"/v1/announcements", body) == nil {
			return
		}
		u.announceIndex++
	}
}

func (u *Upstream) post(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+u.PlatformToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := u.httpClient().Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errHTTPStatus(resp.StatusCode)
	}
	return nil
}
