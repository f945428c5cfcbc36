import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const packagesDirectory = fileURLToPath(new URL('./packages', import.meta.url));

/** Workspace packages resolve to their sources, so that tests need no build. */
export default defineConfig({
  resolve: {
    alias: [
      {
        find: '@dandelionlane/platform-adapter',
        replacement: fileURLToPath(new URL('./platform/src/index.ts', import.meta.url)),
      },
      {
        find: /^@dandelionlane\/([a-z-]+)$/,
        replacement: `${packagesDirectory}/$1/src/index.ts`,
      },
    ],
  },
  test: {
    include: ['packages/*/src/test/**/*.test.ts', 'platform/src/test/**/*.test.ts'],
    exclude: ['**/dist/**', '**/node_modules/**'],
    // Ends a test that hangs. No verdict may depend on how busy the machine is.
    testTimeout: 120_000,
    hookTimeout: 120_000,
    maxWorkers: 4,
    sequence: { seed: 1 },
  },
});
