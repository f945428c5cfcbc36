import type AnswerHead from '../wire/AnswerHead.js';

/** Outcome of one exchange with a target. */
type ExchangeOutcome = | {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly head: AnswerHead;
  readonly body: Buffer;
}
  /**
   * No complete answer. `sent`: whether the target may have run the request. `connectionLost`: whether the
   * connection failed before the answer began, and not this process has abandoned the exchange.
   */
  | {
    readonly kind: 'failed'; readonly sent: boolean; readonly reason: string; readonly connectionLost: boolean;
  }
  /** Another target has answered. */
  | { readonly kind: 'superseded' };

export default ExchangeOutcome;
