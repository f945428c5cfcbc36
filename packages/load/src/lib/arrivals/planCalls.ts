import { type RandomSource, RequestId } from '@dandelionlane/core';
import type LoadSettings from '../settings/LoadSettings.js';
import CallPlanner from './CallPlanner.js';
import nextArrival from './nextArrival.js';
import pickWeighted from './pickWeighted.js';
import type PlannedCall from './PlannedCall.js';

const MILLISECONDS_PER_SECOND = 1_000;

type Traffic = LoadSettings['traffic'];

/**
 * The calls of a run in order of their intended starts. They depend on the settings
 * and the random source only, never on answers. `run` begins every request id.
 */
export default function* planCalls(
  settings: LoadSettings,
  run: string,
  random: RandomSource,
): Generator<PlannedCall> {
  const planner = new CallPlanner(random);
  const endMilliseconds = settings.durationSeconds * MILLISECONDS_PER_SECOND;
  let offsetMilliseconds = nextArrival(settings.ratePerSecond, random);
  for (let number = 1; offsetMilliseconds < endMilliseconds; number += 1) {
    const { team, calls } = pickWeighted(settings.traffic as [Traffic[number], ...Traffic], random);
    const name = `${run}-${number}`;
    yield {
      requestId: RequestId.parse(name),
      team,
      service: calls.service,
      offsetMilliseconds,
      content: planner.plan(team, calls, name),
    };
    offsetMilliseconds += nextArrival(settings.ratePerSecond, random);
  }
}
