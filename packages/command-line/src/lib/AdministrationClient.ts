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

/** Talks to the administration of the entries, `/admin/v1`. Close it when done. */
export default class AdministrationClient {
  readonly #connection: ConnectionOptions;

  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS } });

  constructor(connection: ConnectionOptions) {
    this.#connection = connection;
  }

  /** Reads the release state of the first entry that answers. */
  readRelease(): ResultAsync<ReleaseState, Failure> {
    return this.#exchange({ method: 'GET', path: '/admin/v1/release' }, ReleaseDocument)
      .map(({ state }) => state);
  }

  /** Reads the status as the first entry that answers sees it. */
  readStatus(): ResultAsync<StatusDocument, Failure> {
    return this.#exchange({ method: 'GET', path: '/admin/v1/status' }, StatusDocument);
  }

  /** Asks for a change; the answer is its sequence. Sent at most once. */
  sendChange(change: ReleaseChange): ResultAsync<ReleaseSequence, Failure> {
    return this.#exchange({ method: 'POST', path: '/admin/v1/changes', body: { change } }, ChangeAccepted)
      .map(({ sequence }) => sequence);
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  /** An answer in the form of the schema is the result; any other is a failure. */
  #exchange<Document>(
    exchange: AdministrationRequest,
    schema: ZodType<Document>,
  ): ResultAsync<Document, Failure> {
    return new ResultAsync(sendWithFailover(this.#agent, this.#connection, exchange))
      .andThen((answer) => {
        const document = schema.safeParse(answer.body);
        const isSuccess = answer.status >= 200 && answer.status < 300;
        return isSuccess && document.success
          ? ok(document.data)
          : err(toFailure(answer, exchange.method));
      });
  }
}
