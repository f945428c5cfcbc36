import type { Server } from 'node:http';
import readAnnouncedBytes from './readAnnouncedBytes.js';

/**
 * Lets a server ask for the body of a request with `Expect: 100-continue` only where its announced length is
 * within the limit; the handler of requests refuses the others. Node answers other expectations with 417.
 */
export default function answerExpectations(server: Server, maximumBytes: () => number): void {
  server.on('checkContinue', (incoming, outgoing) => {
    if (readAnnouncedBytes(incoming) <= maximumBytes()) {
      outgoing.writeContinue();
    }
    server.emit('request', incoming, outgoing);
  });
}
