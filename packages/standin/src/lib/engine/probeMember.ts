import { request, type Dispatcher } from 'undici';
import MemberReport from './MemberReport.js';
import timeoutOfRunningTime from './timeoutOfRunningTime.js';

async function fetchReport(
  address: string,
  timeoutMilliseconds: number,
  dispatcher: Dispatcher,
): Promise<unknown> {
  const timeout = timeoutOfRunningTime(timeoutMilliseconds);
  try {
    const answer = await request(`http://${address}/v1/report`, { dispatcher, signal: timeout.signal });
    return await answer.body.json();
  } finally {
    timeout.clear();
  }
}

/** The report of another member; undefined when it does not answer in time. */
export default async function probeMember(
  address: string,
  timeoutMilliseconds: number,
  dispatcher: Dispatcher,
): Promise<MemberReport | undefined> {
  const body = await fetchReport(address, timeoutMilliseconds, dispatcher).catch(() => undefined);
  return MemberReport.safeParse(body).data;
}
