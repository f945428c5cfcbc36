import { request } from 'undici';

/** Path that the targets of a `TestGateway` answer themselves, whatever their script. */
export const PROBE_PATH = '/probe';

/** Whether a target answers over a new connection. */
export default async function probeTarget(address: string, timeoutMilliseconds: number): Promise<boolean> {
  try {
    const { body } = await request(`http://${address}${PROBE_PATH}`, {
      reset: true, signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    await body.dump();
    return true;
  } catch {
    return false;
  }
}
