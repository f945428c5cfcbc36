import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { OpenConnections, SERVER_OPTIONS, answerExpectations } from '@dandelionlane/core';
import type createCallerApplication from '../callers/createCallerApplication.js';
import type EntrySettings from '../settings/EntrySettings.js';
import listenHTTP from './listenHTTP.js';

const STATUS_UNAVAILABLE = 503;

type CallerApplication = ReturnType<typeof createCallerApplication>;

/** The callers' port. It is bound before its application exists, as the entry's record needs its address. */
export default class CallerPort {
  readonly #settings: EntrySettings;

  readonly #server: Server;

  readonly #connections: OpenConnections;

  #application: CallerApplication | undefined;

  constructor(settings: EntrySettings) {
    this.#settings = settings;
    const { maximumHeaderBytes, receiveTimeoutMilliseconds } = settings.limits;
    this.#server = createAdaptorServer({
      fetch: (request, environment) => (
        this.#application?.fetch(request, environment) ?? new Response(null, { status: STATUS_UNAVAILABLE })
      ),
      serverOptions: {
        maxHeaderSize: maximumHeaderBytes,
        headersTimeout: receiveTimeoutMilliseconds,
        requestTimeout: receiveTimeoutMilliseconds,
        connectionsCheckingInterval: SERVER_OPTIONS.connectionsCheckingInterval,
      },
    }) as Server;
    answerExpectations(this.#server, () => settings.limits.maximumBodyBytes);
    this.#connections = new OpenConnections(this.#server);
  }

  /** Resolves to the bound `host:port`. */
  listen(): Promise<string> {
    const { host, port } = this.#settings.callers;
    return listenHTTP(this.#server, host, port);
  }

  serve(application: CallerApplication): void {
    this.#application = application;
  }

  get connections(): OpenConnections {
    return this.#connections;
  }
}
