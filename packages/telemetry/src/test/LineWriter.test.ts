import { readFileSync } from 'node:fs';
import {
  mkdtemp, open, rm, type FileHandle,
} from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import LineWriter from '../lib/LineWriter.js';

let directory = '';
let file: FileHandle;

beforeEach(async () => {
  directory = await mkdtemp(join(tmpdir(), 'line-writer-'));
  file = await open(join(directory, 'log'), 'w');
});

afterEach(async () => {
  await file.close();
  await rm(directory, { recursive: true });
});

// Guards against processes whose last log lines are missing, as they end while an earlier write is running.
test('a flush during another write resolves when all lines are written', async () => {
  const writer = new LineWriter(file.fd);
  writer.writeLine('first');
  const firstFlush = writer.flush();
  writer.writeLine('last');
  await writer.flush();
  // eslint-disable-next-line n/no-sync -- an asynchronous read gives the write time to end
  expect(readFileSync(join(directory, 'log'), 'utf8')).toBe('first\nlast\n');
  await firstFlush;
});

test('a flush resolves when the log cannot be written', async () => {
  const readOnly = await open(join(directory, 'log'), 'r');
  const writer = new LineWriter(readOnly.fd);
  writer.writeLine('first');
  const firstFlush = writer.flush();
  writer.writeLine('last');
  await writer.flush();
  await expect(firstFlush).resolves.toBeUndefined();
  await readOnly.close();
});
