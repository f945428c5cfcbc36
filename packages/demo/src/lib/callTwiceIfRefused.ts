import type CallAnswer from './CallAnswer.js';

const SERVICE_UNAVAILABLE = 503;
const MILLISECONDS_PER_SECOND = 1_000;

/** The last answer to a call, and whether the call was repeated. */
interface FinalAnswer {
  readonly answer: CallAnswer;
  readonly isRepeated: boolean;
}

/** Makes a call. Repeats it once, after the time that the answer gives, if it was refused as not run. */
export default async function callTwiceIfRefused(call: () => Promise<CallAnswer>): Promise<FinalAnswer> {
  const answer = await call();
  const { status, retryAfterSeconds } = answer;
  if (status !== SERVICE_UNAVAILABLE || retryAfterSeconds === null) {
    return { answer, isRepeated: false };
  }
  await new Promise((resolve) => {
    setTimeout(resolve, retryAfterSeconds * MILLISECONDS_PER_SECOND);
  });
  return { answer: await call(), isRepeated: true };
}
