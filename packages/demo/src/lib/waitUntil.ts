const PAUSE_MILLISECONDS = 100;

/** Asks again and again until the answer is true or the time is over. Resolves to the last answer. */
export default async function waitUntil(
  ask: () => Promise<boolean>,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const end = performance.now() + timeoutMilliseconds;
  for (;;) {
    if (await ask()) {
      return true;
    }
    if (performance.now() >= end) {
      return false;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_MILLISECONDS);
    });
  }
}
