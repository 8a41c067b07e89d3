package shardmap

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Copier moves a range's data between clusters, instruction by instruction, by means of the servers. It owes that an act can be
// repeated, and that it refuses an instruction if a newer one for any of its keys has been carried out (Instruction.Newer).
type Copier interface {
	// Do returns nil once the act is done: an ActCopy when the target is nearly up to the source, an ActFinish when it is fully.
	Do(ctx context.Context, i Instruction) error
}

// maxErrorBody bounds what is read of a refusal, in bytes.
const maxErrorBody = 1 << 10

// HTTPCopier is a Copier at an address that the operators name. Each instruction is one POST of JSON, answered with status 200 once it
// is done.
type HTTPCopier struct{ URL string }

// Do implements Copier.
func (c HTTPCopier) Do(ctx context.Context, i Instruction) error {
	body, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("shardmap: encode instruction: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("shardmap: %s of %s: %w", i.Act, i.Move.Name, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("shardmap: %s of %s: %w", i.Act, i.Move.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody)) // as much of it as arrives
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("shardmap: %s of %s: %s: %s", i.Act, i.Move.Name, response.Status, bytes.TrimSpace(message))
	}
	return nil
}
