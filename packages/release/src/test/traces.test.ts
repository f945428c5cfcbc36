import { readFile } from 'node:fs/promises';
import { EMPTY_RELEASE_STATE, type ReleaseState } from '@dandelionlane/core';
import { expect, test } from 'vitest';
import { loadReleaseState, publishChange, type PublishDependencies } from '../index.js';
import buildDependencies from './buildDependencies.js';
import FaultyStore from './FaultyStore.js';
import readLog from './readLog.js';
import Trace from './Trace.js';
import unwrap from './unwrap.js';

interface Publisher {
  readonly dependencies: PublishDependencies;
  readonly known: ReleaseState;
}

async function replayStep(step: Trace['steps'][number], { dependencies, known }: Publisher) {
  if (step.kind === 'publish') {
    const published = await publishChange(dependencies, known, step.change);
    return { known, outcome: published.match((sequence) => `accepted ${sequence}`, ({ kind }) => kind) };
  }
  const loaded = unwrap(await loadReleaseState(dependencies.store, known));
  return { known: loaded, outcome: `at ${loaded.sequence}` };
}

test.each(['lost-answers', 'stale-reads'])('trace: %s', async (name) => {
  const text = await readFile(new URL(`traces/${name}.json`, import.meta.url), 'utf8');
  const trace = Trace.parse(JSON.parse(text));
  const store = new FaultyStore();
  const publishers = new Map<string, Publisher>();
  const outcomes: string[] = [];
  for (const step of trace.steps) {
    const publisher = publishers.get(step.publisher)
      ?? { dependencies: buildDependencies(store, step.publisher), known: EMPTY_RELEASE_STATE };
    store.faults = [...step.faults];
    const { known, outcome } = await replayStep(step, publisher);
    publishers.set(step.publisher, { ...publisher, known });
    outcomes.push(outcome);
  }
  expect(outcomes).toEqual(trace.steps.map(({ outcome }) => outcome));
  expect((await readLog(store)).map(({ nonce }) => nonce.split('-')[0])).toEqual(trace.logOf);
  store.faults = [];
  const state = unwrap(await loadReleaseState(store, EMPTY_RELEASE_STATE));
  expect({
    services: state.services.map(({ definition }) => `${definition.service} version ${definition.version}`),
    availabilityZonesOut: state.availabilityZonesOut,
    vmsOut: state.vmsOut,
  }).toEqual(trace.inForce);
});
