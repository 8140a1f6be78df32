package platform

import "context"

type answerNotice struct{}

// WithAnswerNotice returns a context for calls to a Store. notify is called when the store begins to send
// the answer that was asked for, which for a large one may be long before the call returns.
func WithAnswerNotice(ctx context.Context, notify func()) context.Context {
	outer, _ := ctx.Value(answerNotice{}).(func())
	return context.WithValue(ctx, answerNotice{}, func() {
		if outer != nil {
			outer()
		}
		notify()
	})
}

// NoticeAnswer calls what WithAnswerNotice has set. Implementations of Store call it; those that answer at
// once need not.
func NoticeAnswer(ctx context.Context) {
	if notify, ok := ctx.Value(answerNotice{}).(func()); ok {
		notify()
	}
}
