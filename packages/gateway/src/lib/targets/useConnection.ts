import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';

/** Makes a client use a connection that is open or about to be. An ended one fails its request. */
export default function useConnection(connection: Socket): buildConnector.connector {
  return (_options, callback) => {
    if (connection.connecting) {
      connection.once('connect', () => callback(null, connection));
      connection.once('error', (error) => callback(error, null));
      return;
    }
    // The client takes a connection only after the call that asks for one.
    setImmediate(() => {
      if (connection.destroyed) {
        callback(new Error('connection has ended'), null);
      } else {
        callback(null, connection);
      }
    });
  };
}
