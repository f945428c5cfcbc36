import type { ServerResponse } from 'node:http';

/**
 * Waits until the response can be written to again. Resolves to false if the caller
 * disconnects or does not read within the timeout.
 */
export default async function waitForDrain(
  outgoing: ServerResponse,
  timeoutMilliseconds: number,
): Promise<boolean> {
  if (outgoing.destroyed) {
    return false;
  }
  if (!outgoing.writableNeedDrain) {
    return true;
  }
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    let onDrain = () => undefined;
    let onClose = () => undefined;
    const settle = (drained: boolean): undefined => {
      clearTimeout(timer);
      outgoing.off('drain', onDrain);
      outgoing.off('close', onClose);
      resolve(drained);
    };
    onDrain = () => settle(true);
    onClose = () => settle(false);
    timer = setTimeout(onClose, timeoutMilliseconds);
    outgoing.once('drain', onDrain);
    outgoing.once('close', onClose);
  });
}
