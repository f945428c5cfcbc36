import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { expect, test } from 'vitest';
import EntryStatus from '../lib/EntryStatus.js';
import FRAME_FORMATS from '../lib/FRAME_FORMATS.js';
import FleetState from '../lib/FleetState.js';
import HolderMessage from '../lib/HolderMessage.js';
import decodeFrame from '../lib/decodeFrame.js';
import encodeFrame from '../lib/encodeFrame.js';

const PARAMETERS = { seed: 20_261_205, numRuns: 500 };

const STATE = {
  kind: 'state',
  holder: 'holder',
  era: 1,
  lease: {
    record: {
      holder: 'holder', fencing: 1, renewal: 'abcdefgh', termMilliseconds: 1, released: false, address: 'a:1', era: 1,
    },
    version: 1,
    ageMilliseconds: 0,
  },
  ageMilliseconds: 0,
  operators: {
    newestRow: 0, wholeReads: 1, ageMilliseconds: 0, version: 0, rows: [], whole: false, after: null,
  },
  entries: [{
    entry: 'a', ready: true, callerAddress: 'a:1', processorCores: 1,
  }],
  loads: [{ worker: 'w', outstanding: 1, unreadTokens: 1 }],
  requests: [{ service: 's', requests: 1 }],
  traffic: [],
  progressing: ['g/1'],
  stalled: [{ worker: 'w', formation: 'g/1' }],
  absent: [{ id: 'w', bornAt: 1, formation: '' }],
  promptParts: [{ part: 'p', crashes: [{ id: 'w', bornAt: 1, ageMilliseconds: 0 }], servedAgeMilliseconds: null }],
  trials: [{ part: 'p', entry: 'a' }],
  limits: [{
    id: 'w', bornAt: 1, requestsPerSecond: 1, ageMilliseconds: 0,
  }],
  groups: [{
    worker: 'w',
    service: 's',
    address: 'a:1',
    zone: 'z',
    domain: null,
    bornAt: 1,
    model: 'm',
    group: {
      name: 'g', epoch: 1, rank: 0, state: 'open',
    },
  }],
  withdrawn: [{ id: 'w', bornAt: 1 }],
  leaving: [{ id: 'w', bornAt: null }],
  rows: [{
    table: 'servers', key: 'i', version: 1, value: {},
  }],
  whole: true,
  returned: false,
  version: 1,
};

const oddValue = fc.oneof(
  fc.constantFrom<unknown>(
    Number.NaN,
    Number.POSITIVE_INFINITY,
    1e308,
    -1,
    0.5,
    undefined,
    null,
    '',
    '__proto__',
    'a:70000',
    'a b%\n:80',
    new Date(0),
    new Map(),
    Buffer.from([0xc1]),
    10n ** 18n,
  ),
  fc.anything({ maxDepth: 3 }),
);

/** The message with the value at one path replaced. */
function replaceField(value: unknown, path: readonly string[], odd: unknown): unknown {
  const [name, ...rest] = path;
  if (name === undefined || typeof value !== 'object' || value === null) {
    return odd;
  }
  const entries = Object.entries(value).map(([key, field]: [string, unknown]) => (
    [key, key === name ? replaceField(field, rest, odd) : field] as const
  ));
  return Array.isArray(value) ? entries.map(([, field]) => field) : Object.fromEntries(entries);
}

function listPaths(value: unknown, prefix: readonly string[] = []): readonly (readonly string[])[] {
  return typeof value !== 'object' || value === null ? [] : Object.entries(value)
    .flatMap(([name, field]) => [[...prefix, name], ...listPaths(field, [...prefix, name])]);
}

function tryEncode(message: object): Buffer | null {
  try {
    return encodeFrame(new Packr({ useRecords: true }), message);
  } catch {
    return null;
  }
}

test('the message of these tests is a valid one', () => {
  expect(FleetState.safeParse(STATE).success).toBe(true);
});

// Guards against a process that ends, or a link that is kept, on a message that cannot be read.
test('a message with an odd field is read or refused', () => {
  fc.assert(fc.property(fc.constantFrom(...listPaths(STATE)), oddValue, (path, odd) => {
    const frame = tryEncode(replaceField(STATE, path, odd) as object);
    if (frame !== null) {
      const decoded = decodeFrame(HolderMessage, frame);
      expect(decoded.isOk() || decoded.error.kind === 'message-invalid').toBe(true);
      expect(decodeFrame(EntryStatus, frame).isErr()).toBe(true);
    }
  }), PARAMETERS);
});

test('bytes of any kind are read or refused', () => {
  const sound = encodeFrame(new Packr({ useRecords: true }), STATE);
  const formats = fc.constantFrom(...Object.values(FRAME_FORMATS));
  const anyFrame = fc.tuple(formats, fc.uint8Array({ maxLength: 200 }))
    .map(([format, bytes]) => Buffer.from([format, ...bytes]));
  const damagedFrame = fc.tuple(fc.nat(sound.length - 1), fc.nat(255), fc.nat(sound.length))
    .map(([index, byte, length]) => {
      const damaged = Buffer.from(sound.subarray(0, length));
      damaged[index] = byte;
      return damaged;
    });
  fc.assert(fc.property(fc.oneof(anyFrame, damagedFrame), (frame) => {
    const decoded = decodeFrame(HolderMessage, frame);
    expect(decoded.isOk() || decoded.error.kind === 'message-invalid').toBe(true);
  }), PARAMETERS);
});

// Guards against receivers that overflow the stack on what an earlier build sends.
test.each([['array', [0x91]], ['map', [0x81, 0xa1, 0x61]]])('a very deep %s is refused', (_kind, prefix) => {
  const bytes = Array.from({ length: 300_000 }, () => prefix).flat();
  const frame = Buffer.from([FRAME_FORMATS.messagePack, ...bytes, 0xc0]);
  expect(decodeFrame(HolderMessage, frame).isErr()).toBe(true);
});

// Guards against rows that arrive as something else than what was sent: each is JSON of any writer.
test('rows of any JSON arrive as they were sent', () => {
  // The store's client leaves out fields with this name.
  const sendable = fc.jsonValue({ maxDepth: 6 }).filter((value) => !JSON.stringify(value).includes('__proto__'));
  fc.assert(fc.property(sendable, (value) => {
    const row = {
      table: 'servers', key: 'i', version: 1, value: JSON.parse(JSON.stringify(value)) as unknown,
    };
    const frame = encodeFrame(new Packr({ useRecords: true }), { ...STATE, rows: [row] });
    expect(decodeFrame(FleetState, frame)._unsafeUnwrap().rows).toEqual([row]);
  }), PARAMETERS);
});
