/**
 * Returns a signal that is aborted with the first of several. Unlike `AbortSignal.any`, which holds its
 * signals weakly, it keeps an `AbortSignal.timeout` that nothing else refers to.
 */
export default function combineSignals(signals: readonly AbortSignal[]): AbortSignal {
  const controller = new AbortController();
  signals.forEach((signal) => {
    const abort = () => controller.abort(signal.reason);
    if (signal.aborted) {
      abort();
    } else {
      signal.addEventListener('abort', abort, { once: true });
    }
  });
  return controller.signal;
}
