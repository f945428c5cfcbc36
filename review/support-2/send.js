import { Agent, request as httpRequest } from 'node:http';

/**
 * Sends one request, on a channel of its own unless an agent is given. Resolves to what the client has seen.
 * Never rejects.
 */
export default function send(address, {
  method = 'GET', path = '/', headers = {}, body = null, timeout = 10_000, agent = new Agent({ keepAlive: false }),
} = {}) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const seen = {
      status: null, headers: {}, body: Buffer.alloc(0), ended: false, error: null,
    };
    const chunks = [];
    const settle = () => {
      seen.body = Buffer.concat(chunks);
      done(seen);
    };
    const fail = (error) => {
      seen.error = error.code ?? error.message;
      settle();
    };
    const outgoing = httpRequest({
      host, port, method, path, headers, agent,
    }, (incoming) => {
      seen.status = incoming.statusCode;
      seen.headers = incoming.headers;
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.on('end', () => {
        seen.ended = incoming.complete;
        settle();
      });
      incoming.on('error', fail);
    });
    outgoing.setTimeout(timeout, () => outgoing.destroy(Object.assign(new Error('time'), { code: 'TIME' })));
    outgoing.on('error', fail);
    outgoing.end(body);
  });
}
