import { connect } from 'node:net';
import isRefusedConnection from '../targets/isRefusedConnection.js';

/** Time to wait for an answer, in ms: a host without the process refuses within a few ms. */
const TIMEOUT_MILLISECONDS = 100;

/**
 * Whether an address refuses connections. False where it accepts one or is silent.
 * @param address Host and port.
 */
export default function refusesConnections(address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const settle = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(TIMEOUT_MILLISECONDS, () => settle(false));
    socket.once('connect', () => settle(false));
    socket.once('error', (error: NodeJS.ErrnoException) => settle(isRefusedConnection(error.code ?? '')));
  });
}
