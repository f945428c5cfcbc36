/** Public surface of the package. */
export {};
