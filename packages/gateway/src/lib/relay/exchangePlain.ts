import type Candidate from '../choice/Candidate.js';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import startAttempt from '../requests/startAttempt.js';
import recordAnswerHead from '../targets/recordAnswerHead.js';
import type AnswerHead from '../wire/AnswerHead.js';
import type ExchangeOutcome from './ExchangeOutcome.js';

/** Largest answer that is held in memory, in bytes. */
const MAXIMUM_ANSWER_BYTES = 16 * 1_024 * 1_024;

/** Options of one exchange. */
interface ExchangeOptions {
  readonly usesNewConnection: boolean;
  /** Timeout of the attempt, in ms. */
  readonly timeoutMilliseconds: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Sends a request to a target and reads the whole answer. Never rejects. */
export default function exchangePlain(
  context: GatewayContext,
  call: Call,
  candidate: Candidate,
  { usesNewConnection, timeoutMilliseconds, signal }: ExchangeOptions,
): Promise<ExchangeOutcome> {
  const { state } = candidate;
  return new Promise<ExchangeOutcome>((resolve) => {
    let status = 0;
    let headers: Readonly<Record<string, string | string[] | undefined>> = {};
    let head: AnswerHead | null = null;
    let size = 0;
    const chunks: Buffer[] = [];
    let settled = false;
    let timer: NodeJS.Timeout | undefined;
    let onAbort = () => undefined as void;
    state.outstanding += 1;
    const settle = (answer: ExchangeOutcome) => {
      if (!settled) {
        settled = true;
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        state.outstanding -= 1;
        resolve(answer);
      }
    };
    const attempt = startAttempt(context, call, candidate, { lastEventId: null, usesNewConnection }, {
      head(answerStatus, answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
        head = context.wire.readAnswer(answerHeaders);
        state.recordProgress();
        recordAnswerHead(context, candidate, {
          status: answerStatus, head, requestId: call.metadata.requestId,
        });
      },
      data(chunk) {
        size += chunk.length;
        if (size > MAXIMUM_ANSWER_BYTES) {
          attempt.abandon();
          settle({ kind: 'failed', sent: true, reason: 'answer is too large' });
        } else {
          chunks.push(chunk);
        }
      },
      ended() {
        settle(head === null
          ? { kind: 'failed', sent: true, reason: 'answer without a head' }
          : {
            kind: 'answered', status, headers, head, body: Buffer.concat(chunks),
          });
      },
      failed(reason) {
        settle({ kind: 'failed', sent: attempt.sent, reason });
      },
    });
    timer = setTimeout(() => {
      const { sent } = attempt;
      attempt.abandon();
      settle({ kind: 'failed', sent, reason: 'no answer in time' });
    }, timeoutMilliseconds);
    onAbort = () => {
      const { sent } = attempt;
      attempt.abandon();
      settle({ kind: 'failed', sent, reason: 'caller left' });
    };
    signal.addEventListener('abort', onAbort);
  });
}
