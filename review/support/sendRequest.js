import { request } from 'node:http';
import { encodeRequestHeaders, readSignature } from '@dandelionlane/platform-adapter';
import NAMES from './NAMES.js';

const PROMPT_TOKENS = 100;
const OUTPUT_TOKENS = 400;

/**
 * Sends a request as a caller does, on a new connection, and reads its answer to the end. `complete` tells
 * whether the answer has ended as HTTP says that it does.
 */
export default function sendRequest({
  address, kind, id, deadlineMilliseconds = 8_000, body = `body of ${id}`, headers = {}, agent = false,
  onData = () => undefined,
}) {
  const [host, port] = address.split(':');
  const ended = (outcome) => ({ id, kind, ...outcome });
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port: Number(port),
      method: 'POST',
      path: `/${kind}/run`,
      agent,
      headers: {
        host: NAMES.host,
        ...encodeRequestHeaders({
          requestId: id,
          deadlineMilliseconds,
          apiKey: NAMES.apiKey,
          generation: kind === 'stream' ? {
            model: NAMES.model, promptTokens: PROMPT_TOKENS, maximumOutputTokens: OUTPUT_TOKENS,
          } : null,
        }),
        'content-length': Buffer.byteLength(body),
        ...headers,
      },
    }, (incoming) => {
      const chunks = [];
      const finish = (error) => resolve(ended({
        status: incoming.statusCode,
        headers: incoming.headers,
        signature: readSignature(incoming.headers),
        body: Buffer.concat(chunks).toString('utf8'),
        complete: incoming.complete && error === null,
        error,
      }));
      incoming.on('data', (chunk) => {
        chunks.push(chunk);
        onData(Buffer.concat(chunks).toString('utf8'));
      });
      incoming.once('end', () => finish(null));
      incoming.once('error', (error) => finish(error.code ?? error.message));
    });
    outgoing.once('error', (error) => resolve(ended({
      status: null, headers: {}, signature: null, body: '', complete: false, error: error.code ?? error.message,
    })));
    outgoing.end(body);
  });
}
