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

// Bounds of the length of an answer if the prompt does not set it. The upper bound is exclusive.
const (
	minAnswerTokens = 16
	maxAnswerTokens = 256
)

// lengthMarker in a prompt sets the number of tokens of the answer, as in "len=40".
const lengthMarker = "len="

// maxFixedLength prevents a mistyped length from exhausting the memory.
const maxFixedLength = 1 << 20

// vocabulary holds the tokens of all answers. Some need JSON escapes or multi-byte encoding to
// test that routers handle them.
var vocabulary = []string{
	"alpha ", "bridge ", "candle ", "delta ", "ember ", "field ", "grain ", "harbour ",
	"island ", "jetty ", "kettle ", "lantern ", "meadow ", "north ", "orchard ", "pebble ",
	"quarry ", "river ", "stone ", "timber ", "upland ", "valley ", "willow ", "yellow ",
	"žlutý ", "kůň ", "東京 ", "🙂 ", "\"quoted\" ", "back\\slash ", "tab\t", "line\n",
}

// vocabularyJSON holds the vocabulary's tokens as JSON strings including the quotes.
var vocabularyJSON = encodeVocabulary()

func encodeVocabulary() []string {
	encoded := make([]string, len(vocabulary))
	for i, token := range vocabulary {
		text, err := json.Marshal(token)
		if err != nil {
			panic(err) // cannot happen: strings always encode
		}
		encoded[i] = string(text)
	}
	return encoded
}

// Answer returns the tokens and the finish reason with which every Server answers the
// chat-completions request body. They depend only on the model and on the roles and content of
// the messages. If maxTokens is positive, it truncates the answer. For an invalid body there
// are no tokens.
func Answer(model string, body []byte, maxTokens int) (tokens []string, finishReason string) {
	return VersionAnswer("", model, body, maxTokens)
}

// VersionAnswer is Answer for servers of a version of their software. Answers of two versions have the
// same length and different tokens, so that an answer joined from both is noticed.
func VersionAnswer(version, model string, body []byte, maxTokens int) (tokens []string, finishReason string) {
	req, err := parseRequest(body)
	if err != nil {
		return nil, ""
	}
	req.model = model
	indexes, finishReason := req.answer(version, maxTokens)
	tokens = make([]string, len(indexes))
	for i, index := range indexes {
		tokens[i] = vocabulary[index]
	}
	return tokens, finishReason
}

// answer returns the tokens of a version's answer as indexes into the vocabulary.
func (r *request) answer(version string, maxTokens int) (indexes []uint8, finishReason string) {
	seed := xxhash.Sum64String(r.model + "\x00" + r.prompt)
	rng := rand.New(rand.NewPCG(seed, ^seed))
	length := minAnswerTokens + rng.IntN(maxAnswerTokens-minAnswerTokens)
	fixed, ok := fixedLength(r.prompt)
	if ok {
		length = fixed
	}
	finishReason = FinishStop
	if maxTokens > 0 && length > maxTokens {
		length = maxTokens
		finishReason = FinishLength
	}
	if version != "" {
		seed = xxhash.Sum64String(version + "\x00" + r.model + "\x00" + r.prompt)
		rng = rand.New(rand.NewPCG(seed, ^seed))
	}
	indexes = make([]uint8, length)
	for i := range indexes {
		indexes[i] = uint8(rng.IntN(len(vocabulary)))
	}
	return indexes, finishReason
}

// fixedLength returns the N of the last "len=N" in the prompt.
func fixedLength(prompt string) (int, bool) {
	index := strings.LastIndex(prompt, lengthMarker)
	if index < 0 {
		return 0, false
	}
	digits := prompt[index+len(lengthMarker):]
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	length, err := strconv.Atoi(digits[:end])
	if err != nil || length < 1 || length > maxFixedLength {
		return 0, false
	}
	return length, true
}
