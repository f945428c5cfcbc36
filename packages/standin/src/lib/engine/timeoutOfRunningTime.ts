/** Slices of the time: more of them make a shorter time of a blocked event loop count. */
const SLICES = 10;

/** A timeout that its owner ends when the call is over. */
interface RunningTimeout {
  readonly signal: AbortSignal;
  readonly clear: () => void;
}

/**
 * A signal that aborts after a time in milliseconds in which this process ran. Members of a
 * replica often share a process: while its event loop is blocked no member can answer, and
 * that time says nothing about them. A blocked loop counts as one slice at most.
 */
export default function timeoutOfRunningTime(milliseconds: number): RunningTimeout {
  const controller = new AbortController();
  let slices = 0;
  const timer = setInterval(() => {
    slices += 1;
    if (slices >= SLICES) {
      clearInterval(timer);
      controller.abort();
    }
  }, milliseconds / SLICES);
  return { signal: controller.signal, clear: () => clearInterval(timer) };
}
