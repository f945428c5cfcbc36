import { fileURLToPath } from 'node:url';

/** Path of a built program of the workspace. */
export default function programPath(workspacePackage: string, program: string): string {
  return fileURLToPath(new URL(`../../../${workspacePackage}/dist/${program}.js`, import.meta.url));
}
