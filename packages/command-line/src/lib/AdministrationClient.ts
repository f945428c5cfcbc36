import {
  ChangeAccepted, type ReleaseChange, ReleaseDocument, type ReleaseSequence, type ReleaseState,
  StatusDocument,
} from '@dandelionlane/core';
import { err, ok, ResultAsync } from 'neverthrow';
import { Agent } from 'undici';
import type { ZodType } from 'zod';
import type ConnectionOptions from './ConnectionOptions.js';
import type AdministrationRequest from './AdministrationRequest.js';
import sendWithFailover from './sendWithFailover.js';
import type Failure from './Failure.js';
import toFailure from './toFailure.js';

const CONNECT_TIMEOUT_MILLISECONDS = 3_000;

/** Client of the entries' administration interface, `/admin/v1`. Close it to release its connections. */
export default class AdministrationClient {
  readonly #connection: ConnectionOptions;

  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS } });

  constructor(connection: ConnectionOptions) {
    this.#connection = connection;
  }

  /** Reads the release state of the first entry that answers. */
  readRelease(): ResultAsync<ReleaseState, Failure> {
    return this.#request({ method: 'GET', path: '/admin/v1/release' }, ReleaseDocument)
      .map(({ state }) => state);
  }

  /** Reads the status that the first answering entry reports. */
  readStatus(): ResultAsync<StatusDocument, Failure> {
    return this.#request({ method: 'GET', path: '/admin/v1/status' }, StatusDocument);
  }

  /** Submits a change and returns its sequence. Never resends a change that may have been accepted. */
  sendChange(change: ReleaseChange): ResultAsync<ReleaseSequence, Failure> {
    return this.#request({ method: 'POST', path: '/admin/v1/changes', body: { change } }, ChangeAccepted)
      .map(({ sequence }) => sequence);
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  /** Returns the body of a successful answer that matches the schema; any other answer is a failure. */
  #request<Document>(
    request: AdministrationRequest,
    schema: ZodType<Document>,
  ): ResultAsync<Document, Failure> {
    return new ResultAsync(sendWithFailover(this.#agent, this.#connection, request))
      .andThen((answer) => {
        const document = schema.safeParse(answer.body);
        const isSuccess = answer.status >= 200 && answer.status < 300;
        return isSuccess && document.success
          ? ok(document.data)
          : err(toFailure(answer, request.method));
      });
  }
}
