import { readFile } from 'node:fs/promises';
import type ProcessUsage from './ProcessUsage.js';

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const MEBIBYTE = 1_024 * 1_024;
/** Fields of /proc/<pid>/stat after the command name, counted from 0. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/** Processor time and memory of a process, from the kernel's process table (Linux). */
export default async function readProcessUsage(processId: number): Promise<ProcessUsage> {
  const text = await readFile(`/proc/${processId}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    processorSeconds: ticks / TICKS_PER_SECOND,
    residentMebibytes: (Number(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES) / MEBIBYTE,
  };
}
