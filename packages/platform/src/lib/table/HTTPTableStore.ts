import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import {
  ServingError, TableRow, TransactionOutcome, parseWith,
  type TableRowKey, type TableStore, type TableTransaction,
} from '@dandelionlane/core';
import sendJSON from '../http/sendJSON.js';
import type JSONAnswer from '../http/JSONAnswer.js';

const TIMEOUT_MILLISECONDS = 2_000;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

const ReadAnswer = z.object({ rows: z.array(TableRow) });
const ScanAnswer = z.object({ rows: z.array(TableRow), more: z.boolean() });

/** Client of the platform's table service over HTTP. */
export default class HTTPTableStore implements TableStore {
  readonly #origin: string;

  readonly #dispatcher: Dispatcher;

  /** @param address `host:port` of the table service. */
  constructor(address: string, dispatcher: Dispatcher) {
    this.#origin = `http://${address}`;
    this.#dispatcher = dispatcher;
  }

  read(keys: readonly TableRowKey[]): ResultAsync<readonly TableRow[], ServingError> {
    if (keys.length === 0) {
      return okAsync([]);
    }
    return this.#query('POST', '/v1/reads', { rows: keys })
      .andThen((data) => parseWith(ReadAnswer, data, 'platform-answer-invalid'))
      .map((answer) => answer.rows);
  }

  scan(table: string, prefix: string): ResultAsync<readonly TableRow[], ServingError> {
    return this.#scanAfter(table, prefix, '');
  }

  commit(transaction: TableTransaction): ResultAsync<TransactionOutcome, ServingError> {
    return sendJSON(this.#dispatcher, {
      method: 'POST',
      origin: this.#origin,
      path: '/v1/transactions',
      body: transaction,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    }).andThen((answer) => {
      if (answer.status === STATUS_UNAVAILABLE) {
        return errAsync(new ServingError('table service is unavailable', { kind: 'store-unavailable' }));
      }
      if (answer.status !== STATUS_OK) {
        return errAsync(new ServingError(
          `table service answered ${answer.status} to a transaction`,
          { kind: 'store-outcome-unknown' },
        ));
      }
      return parseWith(TransactionOutcome, answer.data, 'store-outcome-unknown');
    });
  }

  #scanAfter(table: string, prefix: string, after: string): ResultAsync<readonly TableRow[], ServingError> {
    const query = new URLSearchParams({ table, prefix, after });
    return this.#query('GET', `/v1/rows?${query.toString()}`)
      .andThen((data) => parseWith(ScanAnswer, data, 'platform-answer-invalid'))
      .andThen(({ rows, more }) => {
        const last = rows.at(-1);
        if (!more || last === undefined) {
          return okAsync<readonly TableRow[], ServingError>(rows);
        }
        return this.#scanAfter(table, prefix, last.key).map((rest) => [...rows, ...rest]);
      });
  }

  /** Every failure is `store-unavailable`: a failed read has no effect on the store. */
  #query(method: 'GET' | 'POST', path: string, body?: unknown): ResultAsync<unknown, ServingError> {
    return sendJSON(this.#dispatcher, {
      method, origin: this.#origin, path, body, timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    })
      .mapErr((cause) => new ServingError('table service did not answer', { kind: 'store-unavailable', cause }))
      .andThen((answer: JSONAnswer) => {
        if (answer.status !== STATUS_OK) {
          return errAsync(new ServingError(
            `table service answered ${answer.status}`,
            { kind: 'store-unavailable' },
          ));
        }
        return okAsync(answer.data);
      });
  }
}
