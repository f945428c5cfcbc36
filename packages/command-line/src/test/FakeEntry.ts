import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';

/** Returns the status and body of an answer, or `break` to close the connection without one. */
type Handler = (body: unknown) => { status: number; body: unknown } | 'break';

/** Administration server whose answers are set by the test. */
export default class FakeEntry {
  readonly handlers = new Map<string, Handler>();

  /** `method path` of each request, with its Authorization header and body. */
  readonly requests: Readonly<Record<'call' | 'token' | 'body', unknown>>[] = [];

  readonly #server: Server = createServer((request, response) => {
    void this.#answer(request, response);
  });

  /** Listens on a free port of the loopback address. */
  async listen(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks = await request.toArray() as Buffer[];
    const text = Buffer.concat(chunks).toString();
    const body: unknown = text === '' ? undefined : JSON.parse(text);
    const call = `${request.method} ${request.url}`;
    this.requests.push({ call, token: request.headers.authorization, body });
    const answer = this.handlers.get(call)?.(body) ?? 'break';
    if (answer === 'break') {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer.status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer.body));
  }
}
