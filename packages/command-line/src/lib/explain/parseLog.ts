import { z } from 'zod';
import type LogRecord from './LogRecord.js';

const LogLine = z.looseObject({
  at: z.iso.datetime(), level: z.string(), part: z.string(), message: z.string(),
});

function parseLine(line: string, fileName: string): readonly LogRecord[] {
  const start = line.indexOf('{');
  let data: unknown = null;
  try {
    data = start < 0 ? null : JSON.parse(line.slice(start));
  } catch {
    // Truncated lines and output of other programs are skipped.
    return [];
  }
  const parsed = LogLine.safeParse(data);
  if (!parsed.success) {
    return [];
  }
  const {
    at, level, part, message, ...fields
  } = parsed.data;
  const sourcePrefix = line.slice(0, start).trim().split(/\s+/).at(-1) ?? '';
  return [{
    at: Date.parse(at), source: sourcePrefix === '' ? fileName : sourcePrefix, level, part, message, fields,
  }];
}

/** Parses a log file with one JSON object per line; other lines are skipped. */
export default function parseLog(text: string, fileName: string): readonly LogRecord[] {
  return text.split('\n').flatMap((line) => parseLine(line, fileName));
}
