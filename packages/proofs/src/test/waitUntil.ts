const PAUSE_MILLISECONDS = 20;
const LIMIT_MILLISECONDS = 15_000;

/** Asks again and again until the answer is true. Rejects after a generous limit. */
export default async function waitUntil(
  what: string,
  ask: () => boolean | Promise<boolean>,
  limitMilliseconds = LIMIT_MILLISECONDS,
): Promise<void> {
  const end = performance.now() + limitMilliseconds;
  while (!(await ask())) {
    if (performance.now() > end) {
      throw new Error(`waited in vain: ${what}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_MILLISECONDS);
    });
  }
}
