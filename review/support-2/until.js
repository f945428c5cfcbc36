import sleep from './sleep.js';

/** Polls until a condition holds; throws after the time. */
export default async function until(what, condition, milliseconds) {
  const end = performance.now() + milliseconds;
  while (!await condition()) {
    if (performance.now() > end) {
      throw new Error(`not in time: ${what}`);
    }
    await sleep(50);
  }
}
