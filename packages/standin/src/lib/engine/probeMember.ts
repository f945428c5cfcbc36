import { request, type Dispatcher } from 'undici';
import MemberReport from './MemberReport.js';

async function fetchReport(
  address: string,
  timeoutMilliseconds: number,
  dispatcher: Dispatcher,
): Promise<unknown> {
  const answer = await request(`http://${address}/v1/report`, {
    dispatcher,
    signal: AbortSignal.timeout(timeoutMilliseconds),
  });
  return answer.body.json();
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
