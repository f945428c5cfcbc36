import { readFile } from 'node:fs/promises';

const KILOBYTES_PER_MEGABYTE = 1_000;
const KIBIBYTE_KILOBYTES = 1.024;

/** Largest resident memory that a process has had, in MB; null where the system does not tell. */
export default async function readPeakMegabytes(pid: number): Promise<number | null> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  const kibibytes = /VmHWM:\s+(\d+) kB/u.exec(status)?.[1];
  return kibibytes === undefined ? null : (Number(kibibytes) * KIBIBYTE_KILOBYTES) / KILOBYTES_PER_MEGABYTE;
}
