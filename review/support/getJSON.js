import { get } from 'node:http';
import { text } from 'node:stream/consumers';

/** Sends a GET request over a new connection. Resolves to status and body, or to null without an answer. */
export default function getJSON(url) {
  return new Promise((resolve) => {
    get(url, { agent: false }, (incoming) => {
      const isJSON = String(incoming.headers['content-type']).includes('json');
      text(incoming).then(
        (body) => resolve({ status: incoming.statusCode, body: isJSON ? JSON.parse(body) : null }),
        () => resolve(null),
      );
    }).once('error', () => resolve(null));
  });
}
