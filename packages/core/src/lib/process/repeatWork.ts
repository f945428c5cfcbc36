/**
 * Repeats work with a pause in between, never two runs at a time. Work that rejects is
 * repeated as well, after `failed` has heard of it. Returns a function that stops and
 * resolves when the run under way has ended.
 *
 * @param periodMilliseconds Pause between the end of one run and the next.
 * @param failed Called with the reason of each rejection.
 */
export default function repeatWork(
  work: () => Promise<void>,
  periodMilliseconds: number,
  failed: (reason: unknown) => void,
): () => Promise<void> {
  let stopped = false;
  let timer: NodeJS.Timeout | undefined;
  let running: Promise<void> = Promise.resolve();
  const run = () => {
    running = work().catch(failed).then(() => {
      if (!stopped) {
        timer = setTimeout(run, periodMilliseconds);
      }
    });
  };
  run();
  return async () => {
    stopped = true;
    clearTimeout(timer);
    await running;
  };
}
