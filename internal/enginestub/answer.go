package enginestub

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Bounds of an answer whose length the request doesn't fix.
const (
	minAnswerTokens = 16
	maxAnswerTokens = 256
)

// lengthMark in the messages' content fixes the length, as in "len=40".
const lengthMark = "len="

// fixedLengthLimit keeps a mistyped length from filling the memory.
const fixedLengthLimit = 1 << 20

// vocabulary holds the tokens that answers are made of. Some need escapes or
// several bytes, so that a router's handling of them is tested along the way.
var vocabulary = []string{
	"alpha ", "bridge ", "candle ", "delta ", "ember ", "field ", "grain ", "harbour ",
	"island ", "jetty ", "kettle ", "lantern ", "meadow ", "north ", "orchard ", "pebble ",
	"quarry ", "river ", "stone ", "timber ", "upland ", "valley ", "willow ", "yellow ",
	"žlutý ", "kůň ", "東京 ", "🙂 ", "\"quoted\" ", "back\\slash ", "tab\t", "line\n",
}

// vocabularyJSON holds each token as a JSON string, quotes included.
var vocabularyJSON = encodeVocabulary()

func encodeVocabulary() []string {
	encoded := make([]string, len(vocabulary))
	for i, token := range vocabulary {
		text, err := json.Marshal(token)
		if err != nil {
			panic(err) // a string always has a JSON form
		}
		encoded[i] = string(text)
	}
	return encoded
}

// Answer gives the tokens and the finish reason with which every engine stub
// answers the chat-completions request body. It depends on the model and on the
// roles and content of the messages; maxTokens (when above zero) only cuts. A
// body that isn't a request has no tokens.
func Answer(model string, body []byte, maxTokens int) (tokens []string, finish string) {
	req, err := parseRequest(body)
	if err != nil {
		return nil, ""
	}
	req.model = model
	indexes, finish := req.answer(maxTokens)
	tokens = make([]string, len(indexes))
	for i, index := range indexes {
		tokens[i] = vocabulary[index]
	}
	return tokens, finish
}

// answer gives the answer as indexes into the vocabulary.
func (r *request) answer(maxTokens int) (indexes []uint8, finish string) {
	seed := xxhash.Sum64String(r.model + "\x00" + r.prompt)
	random := rand.New(rand.NewPCG(seed, ^seed))
	length := minAnswerTokens + random.IntN(maxAnswerTokens-minAnswerTokens)
	fixed, found := fixedLength(r.prompt)
	if found {
		length = fixed
	}
	finish = FinishStop
	if maxTokens > 0 && length > maxTokens {
		length = maxTokens
		finish = FinishLength
	}
	indexes = make([]uint8, length)
	for i := range indexes {
		indexes[i] = uint8(random.IntN(len(vocabulary)))
	}
	return indexes, finish
}

// fixedLength reads the last "len=N" of the prompt.
func fixedLength(prompt string) (int, bool) {
	at := strings.LastIndex(prompt, lengthMark)
	if at < 0 {
		return 0, false
	}
	digits := prompt[at+len(lengthMark):]
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	length, err := strconv.Atoi(digits[:end])
	if err != nil || length < 1 || length > fixedLengthLimit {
		return 0, false
	}
	return length, true
}
