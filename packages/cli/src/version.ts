/** Version of the executable. */
export const VERSION = '0.1.0'
