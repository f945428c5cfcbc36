import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import {
  parseWith, TableRowKey, TableScan, TableTransaction,
} from '@dandelionlane/core';
import { z } from 'zod';
import type ServerApp from '../server/ServerApp.js';
import RateGate from './RateGate.js';
import type TableRouteParts from './TableRouteParts.js';
import answerProblem from '../server/answerProblem.js';
import readBody from '../server/readBody.js';
import sleep from '../sleep.js';

const MAXIMUM_KEYS = 1_000;
const ReadRequest = z.object({ rows: z.array(TableRowKey).max(MAXIMUM_KEYS) });

/** Adds the table service: `/v1/transactions`, `/v1/reads` and `/v1/rows`. */
export default function addTableRoutes(app: ServerApp, parts: TableRouteParts): void {
  const {
    store, faults, counters, settings, clock,
  } = parts;
  const writeGate = new RateGate(settings.writesPerSecond, clock);
  const readGate = new RateGate(settings.readsPerSecond, clock);

  app.post('/v1/transactions', async (context) => {
    counters.writes += 1;
    await sleep(writeGate.take());
    const answer = await faults.pass()
      .then((passed) => passed.asyncAndThen(() => readBody(context, TableTransaction))
        .andThen((transaction) => store.commit(transaction)));
    if (answer.isOk() && faults.losesAnswers) {
      context.env.outgoing.destroy();
      return RESPONSE_ALREADY_SENT;
    }
    return answer.match((outcome) => context.json(outcome), (error) => answerProblem(context, error));
  });

  app.post('/v1/reads', async (context) => {
    counters.reads += 1;
    await sleep(readGate.take());
    const passed = await faults.pass();
    const answer = await passed.asyncAndThen(() => readBody(context, ReadRequest))
      .andThen((request) => store.read(request.rows));
    return answer.match((rows) => context.json({ rows }), (error) => answerProblem(context, error));
  });

  app.get('/v1/rows', async (context) => {
    counters.scans += 1;
    await sleep(readGate.take());
    const passed = await faults.pass();
    const answer = await passed.andThen(() => parseWith(TableScan, context.req.query(), 'malformed-request'))
      .asyncAndThen((scan) => store.scan(scan.table, scan.prefix).map((rows) => {
        const later = rows.filter(({ key }) => key > scan.after);
        return { rows: later.slice(0, scan.limit), more: later.length > scan.limit };
      }));
    return answer.match((page) => context.json(page), (error) => answerProblem(context, error));
  });
}
