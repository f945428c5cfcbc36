import { request } from 'undici';
import { StatusDocument } from '@dandelionlane/core';
import type { RunningSystem } from '@dandelionlane/demo';

/** The status as the first entry of a system tells it. */
export default async function readStatus(system: RunningSystem): Promise<StatusDocument> {
  const address = String(system.entries[0]?.addresses.administrationAddress);
  const answer = await request(`http://${address}/admin/v1/status`, {
    headers: { authorization: `Bearer ${system.token}` },
  });
  return StatusDocument.parse(await answer.body.json());
}
