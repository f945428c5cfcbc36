import { SeededRandom } from '@dandelionlane/core';
import { assessReplica, chooseTarget, type TargetView } from '@dandelionlane/routing';
import createPlacement from '../createPlacement.js';
import createReport from '../createReport.js';
import type MeasuredItem from '../MeasuredItem.js';
import timeOperation from '../timeOperation.js';

const CANDIDATES = 4;
const FRESHNESS_MILLISECONDS = 2_500;
const SEED = 3;

/** Assessment of one replica and one choice among a service's replicas. */
const routingItem: MeasuredItem = {
  name: 'Routing',
  async measure() {
    const replicas = Array.from({ length: CANDIDATES }, (_, number) => createPlacement(number).replicas[0]!);
    const createReports = (number: number) => Array.from({ length: 4 }, (_, member) => ({
      report: createReport((number * 4) + member), receivedAtMilliseconds: 0,
    }));
    const [first] = replicas;
    const firstReports = createReports(0);
    const candidates = replicas.map((replica, number): TargetView => ({
      replica: replica.replica,
      availabilityZone: replica.members[0]!.availabilityZone,
      assessment: assessReplica(replica, createReports(number), 1, FRESHNESS_MILLISECONDS),
      available: 4,
      load: {
        reportedTokens: 1_000 * number,
        reportAgeMilliseconds: 500,
        localTokensSinceReport: 10,
        localTokensInFlight: 10,
      },
      cachedPrefixTokens: 0,
      health: 'admitted',
      slowness: 1,
    }));
    const random = new SeededRandom(SEED);
    const request = {
      availabilityZone: first!.members[0]!.availabilityZone,
      prefixHash: 7,
      estimatedTokens: 800,
      tried: [],
      mayProbe: false,
    };
    const kinds = new Set(candidates.map(({ assessment }) => assessment.kind));
    if (!kinds.has('whole') || kinds.size > 1) {
      throw new Error('the sample replicas are not whole');
    }
    return [
      {
        name: 'routing.assessReplica',
        value: timeOperation(() => assessReplica(first!, firstReports, 1, FRESHNESS_MILLISECONDS)),
        unit: 'us',
      },
      {
        name: 'routing.chooseTarget',
        value: timeOperation(() => chooseTarget(request, candidates, random)),
        unit: 'us',
      },
    ];
  },
};

export default routingItem;
