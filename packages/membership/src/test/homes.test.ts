import {
  AvailabilityZoneId, type EntryRecord, hashText, SeededRandom, ServiceId,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import createEntryRecord from '../experiments/createEntryRecord.js';
import {
  chooseHomes, type Member, orderEntriesForCaller,
} from '../index.js';
import scoreEntry from '../lib/homes/scoreEntry.js';

const SEED = 7;
const HOMES = 3;
const ZONES = 4;

function entriesOf(numbers: readonly number[]): readonly EntryRecord[] {
  return numbers.map((number) => ({
    ...createEntryRecord(1, number, 1),
    availabilityZone: AvailabilityZoneId.parse(`zone-${number % ZONES}`),
  }));
}

const numbers = fc.uniqueArray(fc.nat(200), { maxLength: 40 });
const manyNumbers = fc.uniqueArray(fc.nat(200), { minLength: 13, maxLength: 40 });
const services = fc.integer({ min: 0, max: 10_000 }).map((number) => ServiceId.parse(`service-${number}`));

/** Naive reference: sorts all entries, then puts the first one of each zone ahead of the others. */
function chooseHomesNaively(service: ServiceId, entries: readonly EntryRecord[]): readonly EntryRecord[] {
  const keyHash = hashText(service);
  const sorted = [...entries].sort((left, right) => scoreEntry(keyHash, right) - scoreEntry(keyHash, left));
  const leaders = sorted.filter((entry, index) => (
    sorted.findIndex(({ availabilityZone }) => availabilityZone === entry.availabilityZone) === index
  ));
  const rest = sorted.filter((entry) => !leaders.includes(entry));
  return [...leaders, ...rest].slice(0, HOMES);
}

function membersOf(entries: readonly EntryRecord[]): readonly Member[] {
  return entries.map((entry) => ({ entry, state: 'alive', sequenceInForce: 0 as Member['sequenceInForce'] }));
}

test('homes match the naive reference', () => {
  fc.assert(fc.property(services, numbers, (service, chosen) => {
    const entries = entriesOf(chosen);
    expect(chooseHomes(service, entries, HOMES)).toEqual(chooseHomesNaively(service, entries));
  }), { seed: SEED });
});

test('homes are in different zones', () => {
  fc.assert(fc.property(services, numbers, (service, chosen) => {
    const entries = entriesOf(chosen);
    const zones = new Set(entries.map(({ availabilityZone }) => availabilityZone));
    const homes = chooseHomes(service, entries, HOMES);
    const homeZones = new Set(homes.map(({ availabilityZone }) => availabilityZone));
    expect(homes.length).toBe(Math.min(HOMES, entries.length));
    expect(homeZones.size).toBe(Math.min(HOMES, zones.size));
  }), { seed: SEED });
});

test('removing an entry replaces at most that home', () => {
  // While enough zones remain, removing an entry takes away at most its own place among the homes.
  fc.assert(fc.property(services, manyNumbers, (service, chosen) => {
    const entries = entriesOf(chosen);
    const before = chooseHomes(service, entries, HOMES);
    const removed = entries[0]!;
    const after = chooseHomes(service, entries.slice(1), HOMES);
    const keptHomes = before.filter((home) => after.includes(home));
    expect(keptHomes.length).toBe(before.includes(removed) ? HOMES - 1 : HOMES);
  }), { seed: SEED });
});

test('homes are distributed evenly over entries', () => {
  const entries = entriesOf(Array.from({ length: 12 }, (_, number) => number));
  const counts = new Map(entries.map(({ entry }) => [entry, 0]));
  for (let number = 0; number < 4_000; number += 1) {
    chooseHomes(ServiceId.parse(`desk-${number}`), entries, HOMES)
      .forEach(({ entry }) => counts.set(entry, counts.get(entry)! + 1));
  }
  expect(Math.min(...counts.values())).toBeGreaterThan(850);
  expect(Math.max(...counts.values())).toBeLessThan(1_150);
});

test('homes in the zone of the caller come first', () => {
  const entries = entriesOf([0, 1, 2, 3, 4, 5, 6, 7]);
  const service = ServiceId.parse('desk');
  const members = membersOf(entries);
  const homes = chooseHomes(service, entries, HOMES);
  const nearZone = homes[2]!.availabilityZone;
  const answers = orderEntriesForCaller({
    service,
    members,
    availabilityZonesOut: [],
    callerZone: nearZone,
    homeCount: HOMES,
    keepSeconds: 5,
    random: new SeededRandom(SEED),
  });
  expect(answers[0]).toEqual({ entry: homes[2], keepSeconds: 5 });
  expect(answers.length).toBe(HOMES);
});

test('leaving, dead and out-of-service entries are excluded', () => {
  const entries = entriesOf([0, 1, 2, 3, 4, 5, 6, 7]);
  const members = membersOf(entries).map((member, index): Member => {
    if (index === 0) {
      return { ...member, state: 'leaving' };
    }
    return index === 1 ? { ...member, state: 'dead' } : member;
  });
  const answers = orderEntriesForCaller({
    service: ServiceId.parse('desk'),
    members,
    availabilityZonesOut: [AvailabilityZoneId.parse('zone-2')],
    callerZone: undefined,
    homeCount: entries.length,
    keepSeconds: 5,
    random: new SeededRandom(SEED),
  });
  const remaining = [entries[3], entries[4], entries[5], entries[7]].map((entry) => entry!.entry);
  expect(answers.map(({ entry }) => entry.entry).sort()).toEqual(remaining.sort());
});

test('callers are spread over all homes', () => {
  const members = membersOf(entriesOf([0, 1, 2, 3, 4, 5]));
  const random = new SeededRandom(SEED);
  const first = Array.from({ length: 60 }, () => orderEntriesForCaller({
    service: ServiceId.parse('desk'),
    members,
    availabilityZonesOut: [],
    callerZone: undefined,
    homeCount: HOMES,
    keepSeconds: 5,
    random,
  })[0]!.entry.entry);
  expect(new Set(first).size).toBe(HOMES);
});
