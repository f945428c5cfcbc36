/** Timeout of a pending answer. */
interface AnswerTimeout {
  /** Aborted when the timeout expires. */
  readonly signal: AbortSignal;
  /** Rejects when the timeout expires: the client handles an abort only once it is connected. */
  readonly expired: Promise<never>;
  /** Starts the time anew: a part of the answer has arrived. */
  readonly restart: () => void;
  readonly clear: () => void;
}

/**
 * Starts the timeout of an answer. In a busy process the timer may fire before answers that arrived
 * in time are read; the abort is deferred to the check phase of the event loop so that they are read first.
 */
export default function startTimeout(milliseconds: number): AnswerTimeout {
  const controller = new AbortController();
  const expired = new Promise<never>((_resolve, reject) => {
    controller.signal.addEventListener('abort', () => reject(new Error('no answer in time')), { once: true });
  });
  let pendingAbort: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    pendingAbort = setImmediate(() => controller.abort());
  }, milliseconds);
  return {
    signal: controller.signal,
    expired,
    restart: () => {
      timer.refresh();
      clearImmediate(pendingAbort);
    },
    clear: () => {
      clearTimeout(timer);
      clearImmediate(pendingAbort);
    },
  };
}
