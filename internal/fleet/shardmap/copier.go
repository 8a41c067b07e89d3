package shardmap

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Copier moves a range's data between clusters: the servers' own affair, told act by act. It owes that an act can come again, and
// that one is refused behind which a newer instruction for any of its keys has been carried out (Instruction.Newer): it may have
// been on its way since before the switch.
type Copier interface {
	// Do returns nil once the act is done: for Copy, when the target is nearly up to the source; for Finish, wholly.
	Do(ctx context.Context, i Instruction) error
}

// maxErrorBody bounds what is read of a refusal.
const maxErrorBody = 1 << 10

// HTTPCopier is a Copier at an address that the operators name: each instruction is one POST of JSON, answered with 200 when it is done.
type HTTPCopier struct{ URL string }

// Do is documented with Copier.
func (h HTTPCopier) Do(ctx context.Context, i Instruction) error {
	text, err := json.Marshal(i)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL, bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if said, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody)); res.StatusCode != http.StatusOK {
		return fmt.Errorf("shardmap: %s of %s: %s: %s", i.Act, i.Move.Name, res.Status, bytes.TrimSpace(said))
	}
	return nil
}
