import {
  ManualClock, RequestId, ServiceDefinition, TeamId,
} from '@dandelionlane/core';
import { expect, test } from 'vitest';
import AdmissionControl from '../lib/requests/AdmissionControl.js';
import type CallerRequest from '../lib/requests/CallerRequest.js';

const definition = ServiceDefinition.parse({
  kind: 'plain', service: 'slots', team: 't', replicas: 1, version: '1',
});

function createRequest(id: string): CallerRequest {
  const request: Partial<CallerRequest> = {
    requestId: RequestId.parse(id),
    internalId: RequestId.parse(id),
    team: TeamId.parse('t'),
    definition,
    deadlineMilliseconds: 10_000,
    callerGone: new AbortController().signal,
  };
  return request as CallerRequest;
}

test('admission uses the current capacity, not the one set before', async () => {
  const admission = new AdmissionControl(new ManualClock(), () => 1);
  admission.setCapacity(definition.service, 0);
  expect(admission.hasCapacity(definition.service, 1)).toBe(true);
  const admitted = await admission.admit(createRequest('a'), 1);
  expect(admitted.isOk()).toBe(true);
  expect(admission.hasCapacity(definition.service, 1)).toBe(false);
  admission.stop();
});
