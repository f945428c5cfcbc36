/**
 * Runs work repeatedly with a pause in between; runs never overlap. A rejected run is
 * reported to `onFailure` and does not end the repetition. Returns a function that stops
 * the repetition and resolves when the current run has finished.
 *
 * @param periodMilliseconds Pause between the end of one run and the next.
 * @param onFailure Called with the reason of each rejection.
 */
export default function repeatWork(
  work: () => Promise<void>,
  periodMilliseconds: number,
  onFailure: (reason: unknown) => void,
): () => Promise<void> {
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let currentRun: Promise<void> = Promise.resolve();
  const run = () => {
    currentRun = work().catch(onFailure).then(() => {
      if (!isStopped) {
        timer = setTimeout(run, periodMilliseconds);
      }
    });
  };
  run();
  return async () => {
    isStopped = true;
    clearTimeout(timer);
    await currentRun;
  };
}
