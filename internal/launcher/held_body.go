package launcher

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/shallotstage/shallotstage/internal/budgeter"
)

const (
	// bodyThreshold is the size from which a request's body counts in the budget.
	bodyThreshold = 4 << 10
	// bodyStep is the least change that is reported.
	bodyStep = 64 << 10
)

// heldBody is the body of a request, whose size counts in the budget.
type heldBody struct {
	io.ReadCloser
	holder         *budgeter.Holder
	received, held int64
}

func newHeldBody(b *budgeter.Budget, w http.ResponseWriter, body io.ReadCloser) *heldBody {
	controller := http.NewResponseController(w)
	return &heldBody{ReadCloser: body, holder: &budgeter.Holder{Budget: b, Kind: budgeter.KindOperator, Close: func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }}}
}

// Read implements io.Reader.
func (h *heldBody) Read(p []byte) (int, error) {
	n, err := h.ReadCloser.Read(p)
	h.received += int64(n)
	if h.received > bodyThreshold && bodyCost*h.received > h.held {
		h.held = bodyCost * (h.received + bodyStep)
		if !h.holder.SetHeld(h.held) {
			return 0, budgeter.ErrUsedUp
		}
	}
	if errors.Is(err, io.EOF) && h.held > 0 {
		// The request is complete and is now executed.
		h.holder.SetBusy(true)
	}
	return n, err
}
