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

// announce sends announcements until ctx ends. An address that does not
// answer is passed over, so each announcement reaches the first that does.
func (u *Upstream) announce(ctx context.Context, sqlAddress, platformAddress string) {
	interval := u.AnnounceInterval
	if interval <= 0 {
		interval = defaultAnnounceInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if !u.cutOff.Load() {
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
	for _, address := range u.AnnounceAddresses {
		if u.post(ctx, address+"/v1/announcements", body) == nil {
			return
		}
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
		return errStatus(resp.StatusCode)
	}
	return nil
}
