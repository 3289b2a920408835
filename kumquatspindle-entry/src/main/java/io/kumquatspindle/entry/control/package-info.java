/** What control tells the entry program, and what the entry program asks of it. */
package io.kumquatspindle.entry.control;
