import type { RequestListener } from 'node:http';
import type { GrantsDocument } from '@dandelionlane/core';
import type TargetTable from '../targets/TargetTable.js';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

function createDocument(table: TargetTable): GrantsDocument {
  return {
    services: [...table.services()].map((targets) => ({
      service: targets.service,
      version: targets.version,
      replicas: [...targets.replicaTargets()].map((target) => ({
        replica: target.replica.replica, inFlight: target.inFlight,
      })),
    })),
  };
}

/**
 * Answers polls of controllers on the peer port with the versions of the placement rows that this
 * entry has applied and its requests in flight on each replica.
 */
export default function createGrantListener(table: () => TargetTable | undefined): RequestListener {
  return (request, response) => {
    const currentTable = table();
    if (currentTable === undefined || request.method !== 'GET' || request.url !== '/v1/grants') {
      response.writeHead(STATUS_NOT_FOUND).end();
      return;
    }
    response.writeHead(STATUS_OK, { 'content-type': 'application/json' });
    response.end(JSON.stringify(createDocument(currentTable)));
  };
}
