package runner

import (
	"bufio"
	"net"
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/standin/faultnet"
)

const finishLength = "length"

// names returns the request and model that an answer names, and the model that
// made its text, with the crossing faults applied.
func (r *Runner) names(j *job) (id, named string, f Faults) {
	r.mu.Lock()
	f = r.faults
	r.mu.Unlock()
	id, adapter := string(j.id), j.adapter
	if f.CrossedRequest {
		id = "other-" + id
	}
	if f.CrossedAdapter {
		adapter.Adapter = "other-" + adapter.Adapter
	}
	if f.WrongVersion {
		adapter.Version += "-old"
	}
	return id, adapter.String(), f
}

// takeFault reports whether a counted fault hits now and counts it down.
func (r *Runner) takeFault(at func(*Faults) (*int, *int), produced int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	token, times := at(&r.faults)
	if *token == 0 || produced < *token {
		return false
	}
	if *times > 0 {
		if *times--; *times == 0 {
			*token = 0
		}
	}
	return true
}

func cutFault(f *Faults) (token, times *int)    { return &f.CutAtToken, &f.CutTimes }
func silentFault(f *Faults) (token, times *int) { return &f.SilentAtToken, &f.SilentTimes }

// stream sends the tokens from offset on as server-sent events.
func (r *Runner) stream(w *bufio.Writer, conn net.Conn, j *job, offset int, chat bool) {
	defer r.detach(j)
	for {
		produced, state := r.next(j, offset)
		for ; offset < produced; offset++ {
			if r.takeFault(silentFault, offset) {
				silence(conn)
			}
			if r.takeFault(cutFault, offset) {
				r.cut(conn)
				return
			}
			if !r.sendChunk(w, j, offset, chat) {
				return
			}
		}
		if state == stateDone && offset >= j.total {
			r.sendEnd(w, j, chat)
			return
		}
		if state >= stateCancelled {
			_ = conn.Close()
			return
		}
	}
}

func (r *Runner) cut(conn net.Conn) {
	r.mu.Lock()
	clean := r.faults.CutCleanly
	r.mu.Unlock()
	if !clean {
		_ = conn.Close()
	}
}

func silence(conn net.Conn) {
	if fc, ok := conn.(*faultnet.Conn); ok {
		fc.Silence()
	}
}

func (r *Runner) sendChunk(w *bufio.Writer, j *job, offset int, chat bool) bool {
	id, named, faults := r.names(j)
	text := Token(named, j.prompt, offset)
	c := chunk{ID: id, Created: time.Now().Unix(), Model: named, Offset: offset}
	c.Object, c.Choices = objectOf(chat, true), []choice{streamChoice(text, chat)}
	data := append(append([]byte("data: "), encode(c)...), "\n\n"...)
	if faults.DuplicateChunks {
		data = append(data, data...)
	}
	if _, err := w.Write(data); err != nil {
		return false
	}
	return w.Flush() == nil
}

func (r *Runner) sendEnd(w *bufio.Writer, j *job, chat bool) {
	id, named, faults := r.names(j)
	time.Sleep(time.Duration(faults.LateMS) * time.Millisecond)
	end := streamChoice("", chat)
	reason := finishLength
	end.FinishReason = &reason
	c := chunk{ID: id, Created: time.Now().Unix(), Model: named, Offset: j.total, Usage: usageOf(j)}
	c.Object, c.Choices = objectOf(chat, true), []choice{end}
	_, _ = w.WriteString("data: " + string(encode(c)) + "\n\ndata: [DONE]\n\n")
	_ = w.Flush()
}

// whole waits for the end of a request and returns its answer.
func (r *Runner) whole(j *job, chat bool) ([]byte, bool) {
	defer r.detach(j)
	produced, state := 0, stateWaiting
	for state < stateDone {
		produced, state = r.next(j, produced)
	}
	if state != stateDone {
		return nil, false
	}
	id, named, faults := r.names(j)
	time.Sleep(time.Duration(faults.LateMS) * time.Millisecond)
	text, reason := Answer(named, j.prompt, j.total), finishLength
	c := chunk{ID: id, Created: time.Now().Unix(), Model: named, Usage: usageOf(j)}
	c.Object = objectOf(chat, false)
	one := choice{FinishReason: &reason}
	if chat {
		one.Message = &Message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	c.Choices = []choice{one}
	return encode(c), true
}

func streamChoice(text string, chat bool) choice {
	if chat {
		return choice{Delta: &delta{Content: text}}
	}
	return choice{Text: &text}
}

func objectOf(chat, streamed bool) string {
	switch {
	case chat && streamed:
		return "chat.completion.chunk"
	case chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func usageOf(j *job) *usageBody {
	prompt := CountTokens(j.prompt)
	return &usageBody{PromptTokens: prompt, CompletionTokens: j.total, TotalTokens: prompt + j.total}
}

func requestID(raw []byte) model.RequestID { return model.RequestID(string(raw)) }
