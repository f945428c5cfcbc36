/** The time within which an answer has to come. */
interface AnswerTimeout {
  /** Aborted once the time is over. */
  readonly signal: AbortSignal;
  /** Rejects once the time is over: the client itself notices an abort only once it is connected. */
  readonly expired: Promise<never>;
  readonly clear: () => void;
}

/**
 * Starts the time within which an answer has to come. In a busy process a timer may fire before
 * answers are read that came in time: those are read first.
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
    clear: () => {
      clearTimeout(timer);
      clearImmediate(pendingAbort);
    },
  };
}
