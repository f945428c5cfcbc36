import { type EntryRecord, type RandomSource, ReleaseSequence } from '@dandelionlane/core';
import Membership from '../lib/membership/Membership.js';
import MembershipSettings from '../lib/membership/MembershipSettings.js';
import ReleaseDissemination from '../lib/release/ReleaseDissemination.js';
import ReleaseDisseminationSettings from '../lib/release/ReleaseDisseminationSettings.js';
import FakeNetwork from './FakeNetwork.js';
import type FakeNetworkOptions from './FakeNetworkOptions.js';

const membershipSettings = MembershipSettings.parse({});
const disseminationSettings = ReleaseDisseminationSettings.parse({});

/** Creates a network with default settings and no faults; `options` override the defaults. */
export default function createFakeNetwork(options: Partial<FakeNetworkOptions>): FakeNetwork {
  return new FakeNetwork({
    seed: 1,
    loss: 0,
    duplication: 0,
    minimumDelayMilliseconds: 0.3,
    maximumDelayMilliseconds: 1,
    regionDelayMilliseconds: 60,
    tickMilliseconds: membershipSettings.tickMilliseconds,
    createMembership: (self: EntryRecord, random: RandomSource) => (
      new Membership({ self, random, settings: membershipSettings })
    ),
    createDissemination: (self: EntryRecord, random: RandomSource) => new ReleaseDissemination({
      self, random, settings: disseminationSettings, sequenceInForce: ReleaseSequence.parse(0),
    }),
    ...options,
  });
}
