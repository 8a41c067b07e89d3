package shardmap

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Copier executes the acts of moves by means of the servers: it copies ranges between clusters and makes servers reject writes. An
// implementation must be able to repeat an act, and must reject an instruction if it has executed a newer one for any of its keys
// (Instruction.Newer).
type Copier interface {
	// Do executes an instruction. It returns nil once the act has succeeded: an ActCopy once the target is almost up to date with the
	// source, an ActFinish once it is fully up to date.
	Do(ctx context.Context, instruction Instruction) error
}

// maxErrorBody is the maximum number of bytes of a response that are copied to an error.
const maxErrorBody = 1 << 10

// HTTPCopier is a Copier that posts each instruction as JSON to a URL. The server answers with status 200 once the act has succeeded.
type HTTPCopier struct{ URL string }

// Do implements Copier.
func (c HTTPCopier) Do(ctx context.Context, instruction Instruction) error {
	body, err := json.Marshal(instruction)
	if err != nil {
		return fmt.Errorf("shardmap: encode instruction: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("shardmap: %s of %s: %w", instruction.Act, instruction.Move.Name, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("shardmap: %s of %s: %w", instruction.Act, instruction.Move.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody)) // an incomplete body is still useful in the error
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("shardmap: %s of %s: %s: %s", instruction.Act, instruction.Move.Name, response.Status, bytes.TrimSpace(responseBody))
	}
	return nil
}
